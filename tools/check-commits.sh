#!/bin/sh
# Fails if a commit has no body. Commits before the one that added this check are exempt.
set -eu
FIRST=$(git log --diff-filter=A --format=%H -- tools/check-commits.sh | tail -1)
[ -n "$FIRST" ] || exit 0
for commit in $(git rev-list --no-merges "$FIRST..HEAD"); do
  [ -n "$(git log -1 --format=%b "$commit")" ] && continue
  git log -1 --format='commit without a body: %h %s' "$commit" >&2
  exit 1
done
echo "all commits have a body"
