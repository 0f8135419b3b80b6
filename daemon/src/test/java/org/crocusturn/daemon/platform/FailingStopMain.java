package org.crocusturn.daemon.platform;

import java.util.concurrent.CountDownLatch;
import org.crocusturn.core.ring.Duty;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.core.ring.FailureHandler;

/** Process in which a thread fails while a planned stop runs, which never ends by itself. */
public final class FailingStopMain {
    private FailingStopMain() {}

    /** Takes the name of the failing thread. */
    public static void main(String[] arguments) throws InterruptedException {
        StopSignal stop = StopSignal.install();
        FatalFailureHandler.install();
        Duty<String> duty = Duty.start("duty", 1, new FailingHandler(), FailureHandler.ENDING);
        System.out.println("ready");
        stop.requested().join();
        if (arguments[0].equals("duty")) {
            duty.offer("fail");
            new CountDownLatch(1).await();
        }
        throw new IllegalStateException("the stop fails");
    }

    /** Fails at each event. */
    private static final class FailingHandler implements DutyHandler<String> {
        @Override
        public void onEvent(String event) {
            throw new StackOverflowError(event);
        }

        @Override
        public long onTimer(long nowNanos) {
            return nowNanos + 1_000_000_000;
        }
    }
}
