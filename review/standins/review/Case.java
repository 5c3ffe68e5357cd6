package review;

import java.nio.file.Path;

/** Runs a case and turns its result into the exit code of its script. */
final class Case {
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int COULD_NOT_RUN = 2;

    /** A case. */
    interface Body {
        /** Returns whether the rule was broken. */
        boolean isBroken(Deployment deployment, Record record, boolean trouble) throws Exception;
    }

    private Case() {}

    /** Runs a case, whose folder is the only argument, and ends the process. */
    static void run(String[] arguments, Body body) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = COULD_NOT_RUN;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"));
                Deployment deployment = new Deployment()) {
            record.say("%s disruption", trouble ? "with" : "without");
            code = body.isBroken(deployment, record, trouble) ? BROKEN : HELD;
            record.say(code == BROKEN ? "the rule is broken" : "the rule held");
        } catch (Exception problem) {
            problem.printStackTrace();
        }
        System.exit(code);
    }
}
