package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt of a case, one line each, with milliseconds since the start. */
final class Record implements AutoCloseable {
    private final long startMillis = Clock.now();
    private final PrintWriter out;

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException failed) {
            throw new UncheckedIOException(failed);
        }
    }

    long elapsedMillis() {
        return Clock.now() - startMillis;
    }

    synchronized void line(String format, Object... values) {
        out.printf("%7d  %s%n", elapsedMillis(), String.format(format, values));
    }

    /** Writes a line to record.txt and to standard output. */
    synchronized void say(String format, Object... values) {
        line(format, values);
        System.out.printf("%7d  %s%n", elapsedMillis(), String.format(format, values));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
