#ifndef BENCH_MICRO_CONTROL_TRAFFIC_H_
#define BENCH_MICRO_CONTROL_TRAFFIC_H_

namespace gentian {

/** Runs fleets of several sizes without load in one process and prints what
    membership, configuration and the key-value client of each daemon send and
    cost. The processor time includes the fakes and the message codec.
*/
void MeasureControlTraffic();

}  // namespace gentian

#endif  // BENCH_MICRO_CONTROL_TRAFFIC_H_
