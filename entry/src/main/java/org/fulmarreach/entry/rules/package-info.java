/** The rules in force at this entry: reading and publishing them. */
package org.fulmarreach.entry.rules;
