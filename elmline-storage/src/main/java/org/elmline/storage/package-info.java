/**
 * The durable log and snapshots of a control host in one data folder. {@link org.elmline.storage.DataFolder} is the
 * entry point; {@link org.elmline.storage.Inspection} reads a folder without changing it.
 */
package org.elmline.storage;
