package org.quetzalshunt.app.explain;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * What became of one request, or of all requests of a program, in order, with what changed the beliefs of the VMs that
 * served them. The logs are read twice: for the lines of the id, then for those of its program and VMs.
 */
final class RequestStory {
    private static final int MOST_LINES = 10_000;
    private static final long BEFORE_MILLIS = 5_000;
    private static final long AFTER_MILLIS = 200;

    private final String id;
    private final List<LogLine> requests = new ArrayList<>();
    private final List<LogLine> beliefs = new ArrayList<>();

    private RequestStory(String id) {
        this.id = id;
    }

    /**
     * Reads the story of an id; empty when no line has it.
     *
     * @throws IOException if a log cannot be read
     */
    static Optional<RequestStory> read(String id, LogFiles files) throws IOException {
        RequestStory story = new RequestStory(id);
        Set<String> ids = new HashSet<>(Set.of(id));
        files.read(text -> text.contains(id), line -> {
            if (line.concerns(id) && !line.text("program").isEmpty()) {
                ids.add(line.text("program"));
            }
        });
        files.read(text -> ids.stream().anyMatch(text::contains), line -> story.addRequest(line, ids));
        if (story.requests.isEmpty()) {
            return Optional.empty();
        }
        story.requests.sort(Comparator.comparingLong(LogLine::arrivedMillis));
        story.readBeliefs(files);
        return Optional.of(story);
    }

    private void addRequest(LogLine line, Set<String> ids) {
        if (line.endsRequest() && ids.stream().anyMatch(line::concerns) && requests.size() < MOST_LINES) {
            requests.add(line);
        }
    }

    private void readBeliefs(LogFiles files) throws IOException {
        LogLine asked = asked();
        long from = asked.arrivedMillis() - BEFORE_MILLIS;
        long until = asked.timeMillis() + AFTER_MILLIS;
        String vm = asked.vm();
        files.read(text -> text.contains(vm), line -> {
            boolean near = line.timeMillis() >= from && line.timeMillis() <= until;
            if (near && line.vm().equals(vm) && !line.endsRequest() && beliefs.size() < MOST_LINES) {
                beliefs.add(line);
            }
        });
        beliefs.sort(Comparator.comparingLong(LogLine::timeMillis));
    }

    /** The line of the request asked for; of a program, its first request that was not served, else its last. */
    LogLine asked() {
        return requests.stream()
                .filter(line -> line.text("request").equals(id))
                .findFirst()
                .or(() -> requests.stream()
                        .filter(line -> line.code().number() != 0)
                        .findFirst())
                .orElseGet(() -> requests.get(requests.size() - 1));
    }

    List<LogLine> requests() {
        return List.copyOf(requests);
    }

    List<LogLine> beliefs() {
        return List.copyOf(beliefs);
    }

    /** Writes the story as text. */
    void print(PrintWriter out) {
        LogLine asked = asked();
        long origin = requests.get(0).arrivedMillis();
        out.printf("%s: %s%n%n", asked.text("request"), FailureCause.sentence(asked));
        out.printf("Requests of the program, times in ms since the first arrived:%n");
        for (LogLine line : requests) {
            out.printf(
                    "%s %7d  %-16s %-28s took %5s  %s%s%n",
                    line.text("request").equals(asked.text("request")) ? "*" : " ",
                    line.arrivedMillis() - origin,
                    line.text("request"),
                    line.vm(),
                    line.text("tookMillis"),
                    line.code().number() + " " + FailureCause.reason(line),
                    steps(line));
        }
        out.printf("%nWhat its gateway %s came to believe from 5 s before:%n", asked.vm());
        beliefs.forEach(line -> out.printf("  %7d  %s%n", line.timeMillis() - origin, line.fields()));
        out.printf(
                "%nBelieved when it was decided: configuration %s, proven current %s ms ago; endpoints read %s ms ago.%n",
                asked.text("configuration"),
                asked.text("configurationAgeMillis"),
                asked.text("registrationsAgeMillis"));
        out.flush();
    }

    private static String steps(LogLine line) {
        StringBuilder steps = new StringBuilder();
        for (String step : List.of(
                "tokenAfterMillis",
                "historyAfterMillis",
                "grantAfterMillis",
                "sentAfterMillis",
                "firstEventAfterMillis",
                "longestPauseMillis",
                "endpoint")) {
            if (!line.text(step).isEmpty()) {
                steps.append(", ")
                        .append(step.replace("AfterMillis", ""))
                        .append(' ')
                        .append(line.text(step));
            }
        }
        return steps.toString();
    }
}
