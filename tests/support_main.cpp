// Keeps the support library non-empty; Boost.Test supplies main() through BOOST_TEST_MODULE.
#include "plantainwall/plantainwall.h"
