/** Request ids and the table that makes a request run at most once. */
package org.fulmarreach.core.request;
