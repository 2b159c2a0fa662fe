/** Frame codec and mapping between the Thrift structs and the types of the core. */
package org.fulmarreach.protocol.io;
