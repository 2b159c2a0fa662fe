package org.fulmarreach.core.jobs;

/** Constraints on the worker of a task, in the order in which {@link Placement#findObstacle} checks them. */
enum Obstacle {
    UNAVAILABLE,
    LABEL,
    SUSPECTED,
    TRIAL,
    ROOM,
    STARTS_UNDER_WAY,
    TASKS_PER_WORKER,
    HEADROOM,
    INTERFERENCE
}
