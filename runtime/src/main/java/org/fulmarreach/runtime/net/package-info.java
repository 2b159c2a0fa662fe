/** Framed Thrift connections and HTTP listeners. */
package org.fulmarreach.runtime.net;
