// Package membermeter measures the cost of membership and duties per node, by
// the number of members and of duties. All instances run in one process and
// exchange real messages over loopback.
package membermeter
