#include "bench.h"

namespace plantainwall::bench {

void benchControl(Report&) { }

} // namespace plantainwall::bench
