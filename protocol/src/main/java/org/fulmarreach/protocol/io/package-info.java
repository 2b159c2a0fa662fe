/** Reading and writing of frames and of the records of the log streams. */
package org.fulmarreach.protocol.io;
