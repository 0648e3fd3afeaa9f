package org.dogwoodwood.benchmarks.report;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.HdrHistogram.Histogram;
import org.dogwoodwood.benchmarks.simulation.Measurements;
import org.dogwoodwood.benchmarks.simulation.Measurements.Counter;
import org.dogwoodwood.benchmarks.simulation.Scenario;
import org.dogwoodwood.benchmarks.simulation.Simulation;

/**
 * The measured results of one policy in one scenario.
 *
 * @param workload the name of the workload
 * @param serviceTimes the name of the distribution of service times
 * @param load the calls offered, as a share of the capacity that neighbours leave to the targets
 * @param policy the name of the policy
 * @param seed the seed of calls and neighbours
 * @param calls the number of calls sent in the measured window
 * @param p50Millis the median latency of answered calls at the caller, in milliseconds
 * @param p99Millis the 99th percentile, in milliseconds
 * @param p999Millis the 99.9th percentile, in milliseconds
 * @param goodput the share of the calls that were answered before their deadline
 * @param inTime the share of the calls that were answered within the latency objective
 * @param capacityShare the work of the answers that reached their callers before the deadline, as a
 *     share of the work that the targets could have done
 * @param refused the share of the calls that were refused and not run
 * @param failed the share of the calls that were dropped or not answered before their deadline
 * @param refusalP99Millis the 99th percentile of the time until callers received a refusal, in
 *     milliseconds
 * @param refusalMaxMillis the longest such time, in milliseconds
 * @param wastedWork the share of the targets' work whose answer reached no caller in time
 * @param pollsPerCall the polls of targets per call
 * @param messagesPerCall the frames between nodes per call
 * @param attemptsPerCall the attempts per call, including hedges
 * @param hedgesPerCall the hedges per call
 * @param peakInFlight the largest number of calls that any target ran concurrently
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

    /**
     * Returns the results of a simulation that has ended.
     *
     * @param simulation the simulation
     * @param policy the name of the policy in the reports
     */
    public static Row of(Simulation simulation, String policy) {
        Scenario scenario = simulation.scenario();
        Measurements measured = simulation.measurements();
        Histogram answered = measured.answerLatencies();
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
                measured.usefulWorkNanos() / simulation.availableNanos(),
                measured.refused() / calls,
                measured.failed() / calls,
                millis(measured.refusalLatencies(), 99),
                millis(measured.refusalLatencies(), 100),
                Math.max(0, 1 - measured.usefulWorkNanos() / simulation.workDoneNanos()),
                measured.perCall(Counter.POLLS),
                measured.perCall(Counter.MESSAGES),
                measured.perCall(Counter.ATTEMPTS),
                measured.perCall(Counter.HEDGES),
                simulation.peakInFlight());
    }

    private static double millis(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }
}
