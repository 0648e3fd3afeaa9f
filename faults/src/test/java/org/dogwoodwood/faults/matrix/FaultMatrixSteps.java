package org.dogwoodwood.faults.matrix;

import static org.assertj.core.api.Assertions.assertThat;
import static org.dogwoodwood.faults.simulation.EventLoop.MILLISECOND;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.dogwoodwood.core.model.Outcome;
import org.dogwoodwood.faults.simulation.Event;
import org.dogwoodwood.faults.simulation.Policies;
import org.dogwoodwood.faults.simulation.Step;

/** The step definitions of the feature file. */
public class FaultMatrixSteps {

    private static final long SEED = 1;
    private static final long RECOVERED_AT_NANOS = 22_500 * MILLISECOND;
    private static final double MIN_SERVED_SHARE = 0.9;

    private FaultMatrix.Cell cell;
    private FaultRun.Result result;

    @Given("a service with targets in three data centres under load")
    public void givenService() {
        cell = null;
    }

    @When("the fault {string} strikes at the step {string}")
    public void injectFault(String faultLabel, String stepLabel) {
        Step step =
                Arrays.stream(Step.values())
                        .filter(it -> it.label().equals(stepLabel))
                        .findFirst()
                        .orElseThrow();
        cell = new FaultMatrix.Cell(Fault.fromLabel(faultLabel).orElseThrow(), step);
        result = FaultRun.run(List.of(cell), SEED, new Policies());
    }

    @Then("the fault has struck")
    public void faultWasInjected() {
        assertThat(result.injected()).containsExactly(cell);
    }

    @Then("all nine invariants hold")
    public void invariantsHold() {
        assertThat(result.violations()).as("seed " + SEED).isEmpty();
    }

    @Then("callers are served at the end")
    public void callersAreServed() {
        Set<Long> answered =
                result.journal()
                        .of(Event.ResponseReceived.class)
                        .filter(answer -> answer.outcome() == Outcome.ANSWERED)
                        .map(Event.ResponseReceived::request)
                        .collect(Collectors.toSet());
        List<Event.RequestSubmitted> last =
                result.journal()
                        .of(Event.RequestSubmitted.class)
                        .filter(call -> call.atNanos() > RECOVERED_AT_NANOS)
                        .filter(call -> call.request().key().isEmpty())
                        .toList();
        long served =
                last.stream().filter(call -> answered.contains(call.request().number())).count();
        assertThat(served).isGreaterThan((long) (MIN_SERVED_SHARE * last.size()));
    }
}
