package org.fulmarreach.entry.jobs;

import org.fulmarreach.core.jobs.Job;
import org.fulmarreach.core.jobs.JobRegistry;

/** Text with the state of an entry for operators: one line for the entry, then one for each worker and job. */
final class StateText {
    private final StringBuilder text = new StringBuilder();

    /** Adds a field to the current line. */
    StateText add(String name, Object value) {
        boolean startsLine = text.isEmpty() || text.charAt(text.length() - 1) == '\n';
        text.append(startsLine ? "" : " ").append(name).append('=').append(value);
        return this;
    }

    /** Ends the current line. */
    StateText endLine() {
        text.append('\n');
        return this;
    }

    /** Adds a line. */
    void addLine(String line) {
        text.append(line).append('\n');
    }

    /** Adds a line for each job. */
    StateText addJobs(JobRegistry registry) {
        for (Job job : registry.jobs()) {
            text.append(job.spec().id());
            add("queue", job.spec().queue());
            add("status", job.acknowledgedStatus()).endLine();
        }
        return this;
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
