/** Stand-ins of the store and of the workers of the users' platform, for tests of the processes that it runs. */
package org.fulmarreach.standin.site;
