/**
 * The synced log and snapshots of a control host under one data folder; {@link org.elmline.storage.DataFolder} is the
 * front, {@link org.elmline.storage.Inspection} reads a folder without changing it.
 */
package org.elmline.storage;
