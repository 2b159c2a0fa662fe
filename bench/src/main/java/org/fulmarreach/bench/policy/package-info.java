/** Named scenarios under virtual time around the decision classes that ship, with baselines. */
package org.fulmarreach.bench.policy;
