/** Root of the runtime module, which docs/design.md describes in section 3. */
package org.fulmarreach.runtime;
