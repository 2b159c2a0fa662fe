package org.fulmarreach.cli;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/** Result of a request to the entries. Immutable. */
sealed interface Answer {
    /**
     * An entry answered.
     *
     * @param status HTTP status
     * @param body body as JSON
     */
    record Reply(int status, JsonNode body) implements Answer {
        /** Returns whether the status is 2xx. */
        boolean isSuccess() {
            return status / 100 == 2;
        }
    }

    /**
     * No entry answered; it is unknown whether one of them has processed the request.
     *
     * @param causes one message per entry
     */
    record NoAnswer(List<String> causes) implements Answer {}
}
