/** Load balancing of calls over targets, retry budget, outlier ejection, and queueing with admission by deadline. */
package org.fulmarreach.core.routing;
