#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start, after the build of deploy/system.toml. The results are in
# target/review-2/.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out/objects"
flags="-std=c++17 -O1 -Wall -Wextra -Wno-deprecated-declarations -Iinclude -Isrc -Iplatform -Itests -Ireview/standin-2"
libraries="-lcpprest -lboost_system -lboost_thread -lssl -lcrypto -lz -lpthread"
pids=""
for source in review/standin-2/*.cpp tests/support_kv_store.cpp review/[6-9]/case.cpp review/10/case.cpp; do
    [ -f "$source" ] || continue
    object="$out/objects/$(echo "$source" | tr / _ | sed 's/\.cpp$/.o/')"
    g++ $flags -c "$source" -o "$object" &
    pids="$pids $!"
done
for pid in $pids; do wait "$pid"; done
for n in 6 7 8 9 10; do
    [ -f "review/$n/case.cpp" ] || continue
    g++ -o "$out/case-$n" "$out/objects/review_${n}_case.o" "$out"/objects/review_standin-2_*.o \
        "$out/objects/tests_support_kv_store.o" $libraries
done
