#ifndef BENCH_MICRO_LOG_COST_H_
#define BENCH_MICRO_LOG_COST_H_

namespace gentian {

/** Prints the processor time of the lines that a request causes: whole, sampled
    and with logging off. Takes standard output over for a moment. */
void MeasureLogCost();

}  // namespace gentian

#endif  // BENCH_MICRO_LOG_COST_H_
