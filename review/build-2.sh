#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start, into target/review-2/. It needs no network.
set -e
cd "$(dirname "$0")/cases-2"
mkdir -p ../../target/review-2
go build -o ../../target/review-2/cases-2 .
