package org.fulmarreach.entry.jobs;

import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.protocol.io.JobTopics;

/** Partitions of the topic that stores jobs. */
final class JobPartitions {
    static final TopicPartition REQUESTS = new TopicPartition(JobTopics.TOPIC, JobTopics.REQUESTS_PART);
    static final TopicPartition PROGRESS = new TopicPartition(JobTopics.TOPIC, JobTopics.PROGRESS_PART);
    static final TopicPartition LEADER_HINT = new TopicPartition(JobTopics.TOPIC, JobTopics.LEADER_HINT_PART);

    private JobPartitions() {}
}
