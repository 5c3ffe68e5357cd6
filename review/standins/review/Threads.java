package review;

/** Starts daemon threads, which do not keep a finished case from ending. */
final class Threads {
    private Threads() {}

    static Thread daemon(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
