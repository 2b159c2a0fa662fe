package org.fulmarreach.core.rules;

/**
 * Result of an accepted publish. Immutable.
 *
 * @param publishId id that the operator's tool chose
 * @param revision revision that the publish created
 */
public record PublishResult(String publishId, long revision) {}
