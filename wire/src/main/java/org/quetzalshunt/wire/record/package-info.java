/** Records of the log as Thrift values, read into the values that the folds work on, with bounds on every size. */
package org.quetzalshunt.wire.record;
