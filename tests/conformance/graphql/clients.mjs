// Sends requests with public GraphQL clients, checks each result, and exits with 1 if a check fails.
import { createHash } from 'node:crypto';
import { ApolloClient, gql, HttpLink, InMemoryCache } from '@apollo/client/core/index.js';
import { BatchHttpLink } from '@apollo/client/link/batch-http/index.js';
import { PersistedQueryLink } from '@apollo/client/link/persisted-queries/index.js';
import { cacheExchange, Client, fetchExchange } from '@urql/core';
import { buildClientSchema, getIntrospectionQuery } from 'graphql';
import { batchRequests, GraphQLClient, request } from 'graphql-request';

const url = process.argv[2];
if (!url) throw new Error('usage: node clients.mjs URL');
let failed = 0;

async function check(name, send, isExpected) {
  try {
    const value = await send();
    const passed = isExpected(value);
    failed += !passed;
    console.log(passed ? 'ok' : 'FAIL', name, passed ? '' : JSON.stringify(value));
  } catch (e) {
    failed += 1;
    console.log('FAIL', name, String(e).slice(0, 400));
  }
}

const apollo = (link) => new ApolloClient({ link, cache: new InMemoryCache() });
const evaluate = 'query Q($f: String) { evaluate(flag: $f) { flag on } }';
const isOn = (data) => data?.evaluate?.on === true;
// Returns a mutation id that no earlier run has used.
const id = (n) => `${process.pid}-${Date.now()}-${n}`;

await check('graphql-request: query', () => request(url, evaluate, { f: 'x' }), isOn);
await check('graphql-request: mutation', () => request(url, 'mutation M($id: ID!) { toggle(id: $id) { done } }', { id: id(1) }),
  (d) => d.toggle.done);
await check('graphql-request: GET', () => new GraphQLClient(url, { method: 'GET', jsonSerializer: JSON }).request('{ flags }'),
  (d) => d.flags.length === 2);
await check('graphql-request: batch of a query and a mutation',
  () => batchRequests(url, [{ document: '{ flags }' }, { document: `mutation { toggle(id: "${id(2)}") { done } }` }]),
  (d) => d[0].data.flags.length === 2 && d[1].data.toggle.done);
await check('graphql-request: errors are reported', () => request(url, '{ none }').catch((e) => e.response.errors),
  (errors) => errors.length === 1 && typeof errors[0].message === 'string');
await check('graphql-js: schema introspection', async () => buildClientSchema(await request(url, getIntrospectionQuery())),
  (schema) => schema.getQueryType().name === 'Query' && schema.getMutationType().name === 'Mutation');
await check('Apollo Client: query', () => apollo(new HttpLink({ uri: url })).query({ query: gql(evaluate), variables: { f: 'y' } }),
  (r) => isOn(r.data));
await check('Apollo Client: mutation',
  () => apollo(new HttpLink({ uri: url })).mutate({ mutation: gql('mutation M($id: ID!) { toggle(id: $id) { done } }'), variables: { id: id(3) } }),
  (r) => r.data.toggle.done);
await check('Apollo Client: GET', () => apollo(new HttpLink({ uri: url, useGETForQueries: true })).query({ query: gql('{ flags }') }),
  (r) => r.data.flags.length === 2);
await check('Apollo Client: batch of queries and a mutation', () => {
  const client = apollo(new BatchHttpLink({ uri: url, batchMax: 5, batchInterval: 20 }));
  return Promise.all([
    client.query({ query: gql('query A { flags }') }),
    client.query({ query: gql('query B { evaluate(flag: "b") { on } }') }),
    client.mutate({ mutation: gql(`mutation C { rollout(id: "${id(4)}") { done } }`) }),
  ]);
}, (r) => r[0].data.flags.length === 2 && isOn(r[1].data) && r[2].data.rollout.done);
for (const useGETForHashedQueries of [false, true]) {
  await check(`Apollo Client: persisted query, ${useGETForHashedQueries ? 'GET' : 'POST'}`, async () => {
    const sha256 = (text) => createHash('sha256').update(text).digest('hex');
    // The document is unique, so the server doesn't know its hash at the first request, and knows it at the second.
    const query = gql(`query P${useGETForHashedQueries ? 'G' : 'P'}${Date.now()} { evaluate(flag: "p") { on } }`);
    const send = () => apollo(new PersistedQueryLink({ sha256, useGETForHashedQueries }).concat(new HttpLink({ uri: url }))).query({ query });
    return [await send(), await send()];
  }, (r) => r.every((r) => isOn(r.data)));
}
const urql = new Client({ url, exchanges: [cacheExchange, fetchExchange], preferGetMethod: false });
await check('urql: query', () => urql.query(evaluate, { f: 'u' }).toPromise(), (r) => !r.error && isOn(r.data));
await check('urql: mutation', () => urql.mutation('mutation M($id: ID!) { toggle(id: $id) { done } }', { id: id(5) }).toPromise(),
  (r) => !r.error && r.data.toggle.done);
process.exit(failed ? 1 : 0);
