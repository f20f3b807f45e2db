#!/bin/sh
# Plays a further finding of the review that is no case: HeadBeforeTimeout or SlowReaderAtStop (review/lib).
# Exits as the scripts of the cases do. The record goes to a temporary folder, which is printed.
cd "$(dirname "$0")/.." || exit 2
[ -f target/elmline-platform.jar ] && [ -f "review/bin/$1.class" ] || exit 2
folder=$(mktemp -d) || exit 2
echo "$folder"
java -Xmx1500m -cp review/bin "$1" "$folder"
case $? in
    10) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
