/** Choice of a target for a call, retries, ejection of failing targets, and admission by deadline. */
package org.fulmarreach.core.routing;
