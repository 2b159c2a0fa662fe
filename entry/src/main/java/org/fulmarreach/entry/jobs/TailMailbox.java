package org.fulmarreach.entry.jobs;

import java.time.Duration;

import org.apache.pekko.actor.typed.javadsl.ActorContext;

/** Sends the messages of a {@link LogTail} to the actor that owns it. */
interface TailMailbox {
    /** Sends a message; thread-safe. */
    void tell(JobsCommand message);

    /** Sends a message after a delay; called on the actor only. */
    void tellAfter(Duration delay, JobsCommand message);

    /** Constructs the mailbox of an actor. */
    static TailMailbox of(ActorContext<JobsCommand> context) {
        var self = context.getSelf();
        return new TailMailbox() {
            @Override
            public void tell(JobsCommand message) {
                self.tell(message);
            }

            @Override
            public void tellAfter(Duration delay, JobsCommand message) {
                context.scheduleOnce(delay, self, message);
            }
        };
    }
}
