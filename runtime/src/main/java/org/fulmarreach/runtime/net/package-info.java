/** Framed Thrift connections over Pekko streams TCP. */
package org.fulmarreach.runtime.net;
