/** Codecs for messages between processes, in the Thrift compact protocol with bounds on all lengths. */
package org.quetzalshunt.wire.message;
