/** Rules in force at this entry. */
package org.fulmarreach.entry.rules;
