/**
 * Assignment of partitions to instances, and the time limit of an instance's authority to act as
 * owner.
 */
package dev.dandelionport.core.ownership;
