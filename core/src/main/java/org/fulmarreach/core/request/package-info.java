/** Request ids and the table that ensures at-most-once execution of each request. */
package org.fulmarreach.core.request;
