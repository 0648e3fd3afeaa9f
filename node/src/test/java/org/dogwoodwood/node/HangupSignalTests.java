package org.dogwoodwood.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.dogwoodwood.node.logging.EventLog;
import org.junit.jupiter.api.Test;

/** Guards against a settings reload by SIGHUP that ends the process and its calls in flight. */
class HangupSignalTests {

    @Test
    void runsTheActionWithoutEndingTheProcess() throws Exception {
        CountDownLatch ran = new CountDownLatch(1);
        HangupSignal.onHangup(ran::countDown, EventLog.create());

        String processId = Long.toString(ProcessHandle.current().pid());
        Process kill = new ProcessBuilder("kill", "-HUP", processId).start();

        assertThat(kill.waitFor()).isZero();
        assertThat(ran.await(10, TimeUnit.SECONDS)).isTrue();
    }
}
