package org.fulmarreach.it;

import java.util.concurrent.CountDownLatch;

import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.fulmarreach.runtime.util.ActorSystems;

/** Baseline for the memory use of a guard: an idle JVM, or an idle actor system with as many threads as a guard's. */
public final class BareMain {
    private BareMain() {}

    /** Starts the process; the argument is {@code jvm} or {@code pekko}. */
    public static void main(String[] args) throws InterruptedException {
        if (args[0].equals("pekko")) {
            ActorSystems.construct(Behaviors.<Void>empty(), "bare", 2);
        }
        System.out.println("{\"ready\":true}");
        new CountDownLatch(1).await();
    }
}
