// Runs the audits of `graphql-http` against a URL.
import { serverAudits } from 'graphql-http';

const url = process.argv[2];
if (!url) throw new Error('say which URL');
const counts = {};
for (const audit of serverAudits({ url, fetchFn: fetch })) {
  const result = await audit.fn();
  counts[result.status] = (counts[result.status] ?? 0) + 1;
  if (result.status !== 'ok') console.log(result.status, audit.id, audit.name, '--', result.reason);
}
console.log(JSON.stringify(counts));
process.exit(counts.error ? 1 : 0);
