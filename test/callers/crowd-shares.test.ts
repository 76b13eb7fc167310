/**
Callers that send one request at a time, beside a crowd that sends requests ahead to the same target.
*/
import {Buffer} from 'node:buffer';
import {test} from 'tap';
import {pause} from '../../source/shared/pause.js';
import {CallerGateway} from '../support/caller-gateway.js';
import {Crowd} from '../support/crowd.js';

const connections = 110;
const workMilliseconds = 60;
const bids = 16;
const bidPauseMilliseconds = 100;
const leastAnswered = 13;

const sentAhead = Buffer.from('POST /crowd/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\n\r\nabc');

// Guards against a crowd whose requests take all connections to a target, so that all other callers are refused.
test('ordinary bids are answered beside 200 connections that send requests ahead and read no answers', async t => {
	const gateway = await CallerGateway.start(t, 2000, connections);
	gateway.crowded.answer = (response, {requestId}) => {
		setTimeout(() => {
			response.writeHead(200, {'x-request-id': requestId, 'x-response-signature': 'proof'});
			response.end('done');
		}, workMilliseconds);
	};

	const crowd = new Crowd({
		port: gateway.ports.callers, clients: 200, head: () => '', block: sentAhead, blocks: 200, isReading: false,
	});
	t.teardown(() => {
		crowd.leave();
	});
	const statuses: number[] = [];
	for (let index = 0; index < bids; index++) {
		statuses.push(await gateway.ask('/crowd/bid', `bid-${index}`)); // eslint-disable-line no-await-in-loop
		await pause(bidPauseMilliseconds); // eslint-disable-line no-await-in-loop
	}

	t.ok(statuses.filter(status => status === 200).length >= leastAnswered, statuses.join(' '));
});
