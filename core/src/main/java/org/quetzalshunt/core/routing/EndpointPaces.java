package org.quetzalshunt.core.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Speed of one endpoint by this VM's measurements and the newest reports of some peers. The number of peers has a
 * bound, so that the memory does not grow with the product of VMs and endpoints.
 */
final class EndpointPaces {
    /** Peers whose reports are kept; together with this VM's own they hold up to 180 measurements. */
    private static final int MAXIMUM_PEERS = 8;

    /** Relative change since the last report that is reported again: about the error of a mean of twenty turns. */
    private static final double REPORTED_CHANGE = 0.1;

    private final Map<String, EndpointPaceReport> peers = new LinkedHashMap<>();
    private RunningMean tokenTime = new RunningMean();
    private RunningMean prefillTime = new RunningMean();
    private RunningMean relativeTime = new RunningMean();
    private double millisPerToken;
    private double prefillMillisPerToken;
    private double relative;
    private EndpointPaceReport reported = new EndpointPaceReport(0, 0, 0, 0);

    void recordTokenTime(double millisPerToken) {
        tokenTime.add(millisPerToken);
        combine();
    }

    void recordPrefillTime(double millisPerToken) {
        prefillTime.add(millisPerToken);
        combine();
    }

    void recordRelativeTime(double relative) {
        relativeTime.add(relative);
        combine();
    }

    /** Replaces the report of a peer; beyond the maximum number, the one that was replaced longest ago is dropped. */
    void setPeer(String vm, EndpointPaceReport report) {
        peers.remove(vm);
        peers.put(vm, report);
        if (peers.size() > MAXIMUM_PEERS) {
            peers.remove(peers.keySet().iterator().next());
        }
        combine();
    }

    void removePeer(String vm) {
        if (peers.remove(vm) != null) {
            combine();
        }
    }

    private void combine() {
        millisPerToken = combined(tokenTime, EndpointPaceReport::millisPerToken);
        prefillMillisPerToken = combined(prefillTime, report -> inverse(report.prefillTokensPerMilli()));
        relative = combined(relativeTime, EndpointPaceReport::relativeTime);
    }

    /** Time per generated token; 0 if unknown. */
    double millisPerToken() {
        return millisPerToken;
    }

    /** Prefill time per prompt token; 0 if unknown. */
    double prefillMillisPerToken() {
        return prefillMillisPerToken;
    }

    /** Time of a request without a prompt, relative to the middle of the service; 0 if unknown. */
    double relativeTime() {
        return relative;
    }

    /** Mean of this VM's and its peers' figures, weighted by their numbers of measurements. */
    private double combined(RunningMean own, ToDoubleFunction<EndpointPaceReport> figure) {
        double samples = own.samples();
        double sum = own.samples() * own.value();
        for (EndpointPaceReport report : peers.values()) {
            double value = figure.applyAsDouble(report);
            if (value > 0) {
                samples += report.samples();
                sum += report.samples() * value;
            }
        }
        return samples == 0 ? 0 : sum / samples;
    }

    /** This VM's own measurements. */
    EndpointPaceReport own() {
        int samples = Math.max(tokenTime.samples(), relativeTime.samples());
        return new EndpointPaceReport(tokenTime.value(), inverse(prefillTime.value()), relativeTime.value(), samples);
    }

    /**
     * How much this VM's measurements have changed since they were last reported; 0 if too little to be reported.
     * Doubling the number of measurements counts as a change.
     */
    double changeSinceReport() {
        EndpointPaceReport own = own();
        if (own.samples() == 0) {
            return 0;
        }
        double change = Math.max(
                Math.max(
                        change(own.millisPerToken(), reported.millisPerToken()),
                        change(own.prefillTokensPerMilli(), reported.prefillTokensPerMilli())),
                change(own.relativeTime(), reported.relativeTime()));
        boolean surer = own.samples() >= 2 * reported.samples();
        return surer || change >= REPORTED_CHANGE ? 1 + change : 0;
    }

    private static double change(double value, double before) {
        if (before == 0) {
            return value > 0 ? 1 : 0;
        }
        return Math.abs(value / before - 1);
    }

    /** Returns this VM's measurements, and remembers that they were reported. */
    EndpointPaceReport report() {
        reported = own();
        return reported;
    }

    /** Forgets all measurements, because the endpoint was restarted. */
    void clear() {
        peers.clear();
        tokenTime = new RunningMean();
        prefillTime = new RunningMean();
        relativeTime = new RunningMean();
        reported = new EndpointPaceReport(0, 0, 0, 0);
        combine();
    }

    private static double inverse(double value) {
        return value > 0 ? 1 / value : 0;
    }
}
