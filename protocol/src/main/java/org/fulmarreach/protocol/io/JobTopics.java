package org.fulmarreach.protocol.io;

import org.fulmarreach.core.exc.FrameException;

/** Partitions and keys of the topic that holds jobs. Stateless. */
public final class JobTopics {
    /** Name of the topic; the store keeps the newest record of each key of a topic whose name starts with "keyed.". */
    public static final String TOPIC = "keyed.jobs";

    /** Partition of submitted jobs and cancellations; written by any entry. */
    public static final int REQUESTS_PART = 0;

    /** Partition of job progress and the leader's term; written by the leader and by candidates. */
    public static final int PROGRESS_PART = 1;

    /** Partition with a copy of the leader's address, so that guards do not have to read all job progress. */
    public static final int LEADER_HINT_PART = 2;

    /** Key of the leader's term. */
    public static final String LEADER_KEY = "leader";

    /** Key of the guards from which the leader withholds leases. */
    public static final String WITHHELD_KEY = "withheld";

    /** Key of what the leader has learned of the interference between tasks. */
    public static final String INTERFERENCE_KEY = "interference";

    /** Key of the load of the pools, which is written while one is short of room. */
    public static final String POOL_LOAD_KEY = "load";

    /** Producer name that the leader uses for the sequence numbers of its appends. */
    public static final String LEADER_PRODUCER = "leader";

    /** Largest key in bytes: its length is one byte in the store's records. */
    public static final int MAX_KEY_BYTES = 255;

    private static final String JOB_PREFIX = "j/";
    private static final String CANCEL_PREFIX = "c/";
    private static final String PROGRESS_PREFIX = "s/";
    private static final String ENTRY_PREFIX = "e/";

    /** Before the records of a job's progress in the order of keys, so that a load has them when it reads that. */
    private static final String PART_PREFIX = "p/";

    private JobTopics() {}

    /** Returns the key of a submitted job. */
    public static String jobKey(String jobId) {
        return JOB_PREFIX + jobId;
    }

    /** Returns the key of a cancellation. */
    public static String cancelKey(String jobId) {
        return CANCEL_PREFIX + jobId;
    }

    /** Returns the key of a job's progress. */
    public static String progressKey(String jobId) {
        return PROGRESS_PREFIX + jobId;
    }

    /** Returns the key of the states of a part of a job's tasks. */
    public static String partKey(String jobId, int part) {
        return PART_PREFIX + jobId + '/' + part;
    }

    /** Returns the key of the newest process of an entry that listens at an address. */
    public static String entryKey(String address) {
        return ENTRY_PREFIX + address;
    }

    /** Returns whether a key is that of the newest process of an entry. */
    public static boolean isEntry(String key) {
        return key.startsWith(ENTRY_PREFIX);
    }

    /** Returns whether a key is that of a submitted job. */
    public static boolean isJob(String key) {
        return key.startsWith(JOB_PREFIX);
    }

    /** Returns whether a key is that of a cancellation. */
    public static boolean isCancel(String key) {
        return key.startsWith(CANCEL_PREFIX);
    }

    /** Returns whether a key is that of a job's progress. */
    public static boolean isProgress(String key) {
        return key.startsWith(PROGRESS_PREFIX);
    }

    /** Returns whether a key is that of the states of a part of a job's tasks. */
    public static boolean isPart(String key) {
        return key.startsWith(PART_PREFIX);
    }

    /**
     * Returns the number of the part in its key.
     *
     * @throws FrameException if there is none
     */
    public static int partNumber(String key) {
        try {
            return Integer.parseUnsignedInt(key.substring(key.lastIndexOf('/') + 1));
        } catch (NumberFormatException e) {
            throw new FrameException("the key " + key + " names no part", e);
        }
    }

    /** Returns the job id in the key of a part. */
    public static String jobIdOfPart(String key) {
        return key.substring(PART_PREFIX.length(), Math.max(PART_PREFIX.length(), key.lastIndexOf('/')));
    }

    /** Returns the job id in a key; the prefixes of all keys with a job id have the same length. */
    public static String jobId(String key) {
        return key.substring(JOB_PREFIX.length());
    }
}
