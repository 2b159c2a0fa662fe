/** Root package of the module core; section 3 of docs/design.md describes the role of the module. */
package org.fulmarreach.core;
