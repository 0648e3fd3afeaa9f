package org.dogwoodwood.benchmarks.report;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.HdrHistogram.Histogram;
import org.dogwoodwood.benchmarks.simulation.Measurements;
import org.dogwoodwood.benchmarks.simulation.Measurements.Count;
import org.dogwoodwood.benchmarks.simulation.Scenario;
import org.dogwoodwood.benchmarks.simulation.World;

/**
 * The result of one run.
 *
 * @param workload the name of the workload
 * @param serviceTimes the name of the distribution of service times
 * @param load the calls offered, as a share of the capacity that neighbours leave
 * @param policy the name of the policy
 * @param seed the seed
 * @param calls the calls sent in the measured time
 * @param p50Millis the median latency of answered calls at the caller, in milliseconds
 * @param p99Millis the 99th percentile, in milliseconds
 * @param p999Millis the 99.9th percentile, in milliseconds
 * @param goodput the share of the calls that were answered in time
 * @param inTime the share of the calls that were answered within the latency objective
 * @param capacityShare the work of those answers as a share of what the targets could do
 * @param refused the share of the calls that were refused and not run
 * @param failed the share of the calls that were dropped or answered late
 * @param refusalP99Millis the 99th percentile of the time until refused callers were told
 * @param refusalMaxMillis the longest such time
 * @param wastedWork the share of the targets' work that reached no caller in time
 * @param pollsPerCall polls of targets per call
 * @param messagesPerCall frames between nodes per call
 * @param attemptsPerCall attempts per call, hedges included
 * @param hedgesPerCall hedges per call
 * @param peakInFlight the most calls that a target worked on at a time
 */
public record Row(
        String workload,
        @JsonProperty("service_times") String serviceTimes,
        double load,
        String policy,
        long seed,
        long calls,
        @JsonProperty("p50_ms") double p50Millis,
        @JsonProperty("p99_ms") double p99Millis,
        @JsonProperty("p999_ms") double p999Millis,
        double goodput,
        @JsonProperty("in_time") double inTime,
        @JsonProperty("capacity_share") double capacityShare,
        double refused,
        double failed,
        @JsonProperty("refusal_p99_ms") double refusalP99Millis,
        @JsonProperty("refusal_max_ms") double refusalMaxMillis,
        @JsonProperty("wasted_work") double wastedWork,
        @JsonProperty("polls_per_call") double pollsPerCall,
        @JsonProperty("messages_per_call") double messagesPerCall,
        @JsonProperty("attempts_per_call") double attemptsPerCall,
        @JsonProperty("hedges_per_call") double hedgesPerCall,
        @JsonProperty("peak_in_flight") int peakInFlight) {

    private static final double NANOS_PER_MILLI = 1e6;

    /** Returns the result of a run that has ended. */
    public static Row of(World world, String policy) {
        Scenario scenario = world.scenario();
        Measurements measured = world.measurements();
        Histogram answered = measured.answered();
        double calls = Math.max(1, measured.calls());
        return new Row(
                scenario.workload().name(),
                scenario.serviceTimes().label(),
                scenario.load(),
                policy,
                scenario.seed(),
                measured.calls(),
                millis(answered, 50),
                millis(answered, 99),
                millis(answered, 99.9),
                answered.getTotalCount() / calls,
                measured.inTime() / calls,
                measured.usefulNanos() / world.availableNanos(),
                measured.refused() / calls,
                measured.failed() / calls,
                millis(measured.refusals(), 99),
                millis(measured.refusals(), 100),
                Math.max(0, 1 - measured.usefulNanos() / world.usedNanos()),
                measured.perCall(Count.POLLS),
                measured.perCall(Count.MESSAGES),
                measured.perCall(Count.ATTEMPTS),
                measured.perCall(Count.HEDGES),
                world.peakRuns());
    }

    private static double millis(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }
}
