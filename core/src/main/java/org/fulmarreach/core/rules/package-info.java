/** The rules file: its parser, look-ups and differences, and the fold of the stream "rules". */
package org.fulmarreach.core.rules;
