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
 * Report on one request or program: all requests of the program in order of arrival, and the other events that the
 * gateway of the explained request logged around it. The logs are read three times: for the program of the id, for the
 * requests of that program, and for the events of the gateway.
 */
final class RequestReport {
    private static final int MAXIMUM_LINES = 10_000;
    private static final long EVENTS_BEFORE_ARRIVAL_MILLIS = 5_000;
    private static final long EVENTS_AFTER_END_MILLIS = 200;

    private final String id;
    private final List<LogLine> requests = new ArrayList<>();
    private final List<LogLine> gatewayEvents = new ArrayList<>();

    private RequestReport(String id) {
        this.id = id;
    }

    /**
     * Builds the report for the id of a request or program; empty if no request in the logs has it.
     *
     * @throws IOException if a log cannot be read
     */
    static Optional<RequestReport> read(String id, LogFiles files) throws IOException {
        RequestReport report = new RequestReport(id);
        Set<String> ids = new HashSet<>(Set.of(id));
        files.read(text -> text.contains(id), line -> {
            if (line.concerns(id) && !line.text("program").isEmpty()) {
                ids.add(line.text("program"));
            }
        });
        files.read(text -> ids.stream().anyMatch(text::contains), line -> report.addRequest(line, ids));
        if (report.requests.isEmpty()) {
            return Optional.empty();
        }
        report.requests.sort(Comparator.comparingLong(LogLine::arrivedMillis));
        report.readGatewayEvents(files);
        return Optional.of(report);
    }

    private void addRequest(LogLine line, Set<String> ids) {
        if (line.endsRequest() && ids.stream().anyMatch(line::concerns) && requests.size() < MAXIMUM_LINES) {
            requests.add(line);
        }
    }

    private void readGatewayEvents(LogFiles files) throws IOException {
        LogLine explained = explained();
        long from = explained.arrivedMillis() - EVENTS_BEFORE_ARRIVAL_MILLIS;
        long until = explained.timeMillis() + EVENTS_AFTER_END_MILLIS;
        String vm = explained.vm();
        files.read(text -> text.contains(vm), line -> {
            boolean isNearRequest = line.timeMillis() >= from && line.timeMillis() <= until;
            if (isNearRequest && line.vm().equals(vm) && !line.endsRequest() && gatewayEvents.size() < MAXIMUM_LINES) {
                gatewayEvents.add(line);
            }
        });
        gatewayEvents.sort(Comparator.comparingLong(LogLine::timeMillis));
    }

    /**
     * The request with the given id; for the id of a program, its first unserved request, or its last one if all were
     * served.
     */
    LogLine explained() {
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

    List<LogLine> gatewayEvents() {
        return List.copyOf(gatewayEvents);
    }

    /** Prints the report as text. */
    void print(PrintWriter out) {
        LogLine explained = explained();
        long origin = requests.get(0).arrivedMillis();
        out.printf("%s: %s%n%n", explained.text("request"), FailureCause.sentence(explained));
        out.printf("Requests of the program, times in ms since the first arrived:%n");
        for (LogLine line : requests) {
            out.printf(
                    "%s %7d  %-16s %-28s took %5s  %s%s%n",
                    line.text("request").equals(explained.text("request")) ? "*" : " ",
                    line.arrivedMillis() - origin,
                    line.text("request"),
                    line.vm(),
                    line.text("tookMillis"),
                    line.code().number() + " " + FailureCause.reason(line),
                    steps(line));
        }
        out.printf("%nWhat its gateway %s came to believe from 5 s before:%n", explained.vm());
        gatewayEvents.forEach(line -> out.printf("  %7d  %s%n", line.timeMillis() - origin, line.fields()));
        out.printf(
                "%nBelieved when it was decided: configuration %s, proven current %s ms ago; endpoints read %s ms ago.%n",
                explained.text("configuration"),
                explained.text("configurationAgeMillis"),
                explained.text("registrationsAgeMillis"));
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
