/** The rules file: parser, lookups and differences, and the rule book that is replayed from the stream "rules". */
package org.fulmarreach.core.rules;
