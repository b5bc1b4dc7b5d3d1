#!/usr/bin/env bash
# Submits a chain of three jobs to the controller at $1 (host:port) and prints the state of each:
# j-000001 runs first, then the two tasks of j-000002, then j-000003. The first two jobs inherit the
# deadline and the priority of j-000003.
set -euo pipefail
controller=${1:?host:port of a controller}

submit() { # arguments: uid grade pieces waitsOn dueS
  curl -sS -X POST "http://$controller/submissions" -d '{"uid":"'"$1"'","lot":"chain","crew":"'"${CREW:-red}"'","cut":"array",
    "grade":"'"$2"'","pieces":'"$3"',"cpus":1.0,"cards":0.0,"memoryGb":1.0,"pattern":"img-01","sizeGb":0.5,"stocks":null,"yard":null,
    "samePlace":false,"spread":false,"loaners":true,"sawS":10.0,"stackS":0.0,"stowS":0.0,"dueS":'"$5"',"waitsOn":'"$4"'}'
  echo
}

submit j-000001 best_effort 1 '[]' null
submit j-000002 best_effort 2 '["j-000001"]' null
submit j-000003 urgent 1 '["j-000002"]' 120.0
for id in j-000001 j-000002 j-000003; do
  curl -sS "http://$controller/submissions/$id"
  echo
done
