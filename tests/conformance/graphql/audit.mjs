// Runs the server audits of the `graphql-http` package against a URL, and exits with 1 if one reports an error.
import { serverAudits } from 'graphql-http';

const url = process.argv[2];
if (!url) throw new Error('usage: node audit.mjs URL');
const counts = {};
for (const audit of serverAudits({ url, fetchFn: fetch })) {
  const result = await audit.fn();
  counts[result.status] = (counts[result.status] ?? 0) + 1;
  if (result.status !== 'ok') console.log(result.status, audit.id, audit.name, '--', result.reason);
}
console.log(JSON.stringify(counts));
process.exit(counts.error ? 1 : 0);
