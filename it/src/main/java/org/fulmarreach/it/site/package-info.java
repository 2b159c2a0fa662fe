/** A soak of the processes that the users' platform runs, beside stand-ins of its store and workers. */
package org.fulmarreach.it.site;
