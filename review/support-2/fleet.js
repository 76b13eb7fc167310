/*
What the scripts of this review share: settings of a small deployment, the gateways as processes
that the deploy file's `run` line starts, a store, replicas and clients on loopback addresses.
*/
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {PlatformStoreStandIn} from '../../build/stand-ins/platform-store-stand-in.js';

export const repository = path.resolve(import.meta.dirname, '../..');

export const pause = async milliseconds => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

const startedAt = performance.now();

export const seconds = () => ((performance.now() - startedAt) / 1000).toFixed(3);

/* The words of the deploy file's `run` line. */
const runWords = () => {
	const text = fs.readFileSync(path.join(repository, 'deploy/system.toml'), 'utf8');
	return /^run = "(.*)"$/m.exec(text)[1].split(' ');
};

const freePort = async host => new Promise((resolve, reject) => {
	const server = net.createServer();
	server.once('error', reject);
	server.listen(0, host, () => {
		const {port} = server.address();
		server.close(() => {
			resolve(port);
		});
	});
});

/* Resolves with the end of an HTTP exchange, whole or not; never rejects. */
export const ask = async ({host, port, method = 'POST', target, headers = {}, body = '', timeout = 10_000, agent = false, onResponse}) => new Promise(resolve => {
	const sentAt = performance.now();
	const end = more => {
		resolve({
			status: 0, headers: {}, body: '', isWhole: false, error: '', isReused: request.reusedSocket, milliseconds: Math.round(performance.now() - sentAt), ...more,
		});
	};

	const request = http.request({
		host, port, method, path: target, agent, headers: {...method === 'GET' ? {} : {'content-length': Buffer.byteLength(body)}, ...headers},
	}, response => {
		const chunks = [];
		onResponse?.(response, request);
		response.setEncoding('latin1');
		response.on('data', chunk => {
			chunks.push(chunk);
		});
		response.on('error', () => undefined);
		response.on('close', () => {
			end({
				status: response.statusCode, headers: response.headers, body: chunks.join(''), isWhole: response.complete,
			});
		});
	});
	request.setTimeout(timeout, () => {
		request.destroy(new Error('timed out'));
	});
	request.on('error', error => {
		end({error: error.code ?? error.message});
	});
	request.end(body);
});

/* A gateway's process. */
class Gateway {
	exit;
	log = [];

	constructor(parts) {
		Object.assign(this, parts);
		this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-2-'));
	}

	start() {
		const file = path.join(this.folder, 'settings.toml');
		fs.writeFileSync(file, this.settings);
		const [program, ...words] = runWords();
		this.child = spawn(program === 'node' ? process.execPath : program, words.map(word => word === '9464' ? String(this.ports.metrics) : word), {
			cwd: repository, stdio: ['ignore', 'pipe', 'pipe'], env: {PATH: process.env.PATH, HOME: process.env.HOME ?? '', COWSLIPRUDDER_BOOT: file},
		});
		this.exit = undefined;
		this.startedAt = performance.now();
		this.fleet.note({event: 'gateway started', name: this.name, process: this.child.pid});
		const keep = text => {
			this.log.push(...text.split('\n').filter(line => line !== ''));
		};

		this.child.stdout.setEncoding('utf8').on('data', keep);
		this.child.stderr.setEncoding('utf8').on('data', keep);
		const {child} = this;
		child.on('exit', (code, signal) => {
			if (this.child === child) {
				this.exit = {code, signal};
				this.fleet.note({
					event: 'gateway ended', name: this.name, code, signal, reason: this.log.findLast(line => line.startsWith('FATAL ERROR') || line.includes('"fatal"')),
				});
			}
		});
	}

	async ready(limit = 20_000) {
		const until = performance.now() + limit;
		while (performance.now() < until && this.exit === undefined) {
			const {status} = await ask({ // eslint-disable-line no-await-in-loop
				host: this.host, port: this.ports.ready, method: 'GET', target: '/v1/readyz', timeout: 500,
			});
			if (status === 200) {
				return true;
			}

			await pause(50); // eslint-disable-line no-await-in-loop
		}

		return false;
	}

	/* Resident memory in MB. */
	get megabytes() {
		try {
			return Number(/VmRSS:\s+(\d+)/.exec(fs.readFileSync(`/proc/${this.child.pid}/status`, 'utf8'))?.[1] ?? 0) / 1024;
		} catch {
			return 0;
		}
	}

	async metrics() {
		const {body} = await ask({
			host: this.host, port: this.ports.metrics, method: 'GET', target: '/metrics', timeout: 2000,
		});
		return body;
	}

	ask(question) {
		return ask({host: this.host, port: this.ports.front, ...question});
	}

	kill(signal = 'SIGKILL') {
		if (this.exit === undefined) {
			this.child?.kill(signal);
		}
	}
}

export class Fleet {
	gateways = [];
	replicas = [];
	#record;
	#version = 0;

	constructor(folder) {
		this.#record = fs.openSync(path.join(folder, 'record.txt'), 'w');
		this.store = new PlatformStoreStandIn();
	}

	note(entry) {
		fs.writeSync(this.#record, `${seconds()} ${typeof entry === 'string' ? entry : JSON.stringify(entry)}\n`);
	}

	async start() {
		await this.store.start();
	}

	configure({routes, services, limits = {}, tenants}) {
		this.#version += 3;
		this.store.put('op/config', JSON.stringify({
			version: this.#version,
			routes: routes.map(route => ({
				host: 'ficu95.example', timeoutMs: 6000, targetLatencyMs: 800, priority: 1, maxAttempts: 1, ...route,
			})),
			services,
			...tenants === undefined ? {} : {tenants},
			limits: {
				maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000, ...limits,
			},
		}));
		this.note({event: 'configuration written', version: this.#version});
		return this.#version;
	}

	/* Settings as DEPLOY.md shows them; every gateway has a loopback address of its own and the same ports. */
	async addGateways(count, {more = '', limits = {}, bounds = {}, first = 2} = {}) {
		const ports = {
			front: await freePort('127.0.0.2'), ready: await freePort('127.0.0.2'), control: await freePort('127.0.0.2'), metrics: await freePort('127.0.0.2'),
		};
		const hosts = Array.from({length: count}, (_, index) => `127.0.0.${first + index}`);
		for (const [index, host] of hosts.entries()) {
			const {memoryMb = 350, maxFds = 4100} = limits;
			const named = {
				seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, downgradeSlackMs: 250, maxSkewMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, retryBudgetExtra: 58, recoverS: 12, transitMs: 120, reuseWindowS: 10, fencingEnforced: true, leaseMs: 3000, thawMs: 300, ...bounds,
			};
			const settings = `nodeName = "edge-munster-a-${index + 1}"
role = "entry"
machineClass = "edge"
serves = ["edge","control"]
ip = "${host}"
zone = "munster-a"
region = "munster"
internalPortRange = [7660,7675]
seeds = [${hosts.slice(0, 3).map(seed => `"${seed}:${ports.control}"`).join(',')}]
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
${more}
[zones]
munster-a = "munster"
[listen]
frontend = "${host}:${ports.front}"
readyAddress = "${host}:${ports.ready}"
controlPlane = "${host}:${ports.control}"
[limits]
cpuShare = 0.513
cores = 1
memoryMb = ${memoryMb}
maxFds = ${maxFds}
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
${Object.entries(named).map(([key, value]) => `${key} = ${value}`).join('\n')}
[platform]
address = "${this.store.address}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`;
			this.gateways.push(new Gateway({
				fleet: this, name: `edge-munster-a-${index + 1}`, host, ports, settings,
			}));
		}

		for (const gateway of this.gateways) {
			gateway.start();
		}

		const ready = await Promise.all(this.gateways.map(async gateway => gateway.ready()));
		this.note({event: 'gateways ready', ready});
		return ready.every(Boolean);
	}

	async stop() {
		for (const gateway of this.gateways) {
			gateway.kill();
		}

		for (const replica of this.replicas) {
			replica.stop();
		}

		this.store.stop();
		await pause(200);
		for (const gateway of this.gateways) {
			fs.rmSync(gateway.folder, {recursive: true, force: true});
		}
	}
}

/* A replica on a port of its own, by Node's HTTP server. */
export class Replica {
	/* `answer(response, request)` is called once a request has arrived whole and runs. */
	constructor(fleet, id, {service, zone = 'munster-a', slots = 64, more = {}, answer}) {
		Object.assign(this, {
			fleet, id, service, zone, slots, more, answer,
		});
		fleet.replicas.push(this);
	}

	async start(port = 0) {
		this.sockets = new Set();
		this.server = http.createServer({maxHeaderSize: 65_536, keepAliveTimeout: 15_000}, (request, response) => {
			this.#receive(request, response);
		});
		this.server.on('connection', socket => {
			this.sockets.add(socket);
			socket.once('close', () => {
				this.sockets.delete(socket);
			});
		});
		await new Promise(resolve => {
			this.server.listen(port, '127.0.0.1', 2048, resolve);
		});
		this.port = this.server.address().port;
		this.address = `127.0.0.1:${this.port}`;
		this.sequence = (this.sequence ?? 0) + 1;
		this.born = Date.now();
		this.beat();
	}

	entry(more = {}) {
		return JSON.stringify({
			service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: this.slots, state: 'ready', coldRemainingMs: 0, sequence: this.sequence, born: this.born, ...this.more, ...more,
		});
	}

	beat(more = {}) {
		this.fleet.store.put(`servers/${this.id}`, this.entry(more));
	}

	/* Nothing listens any more, and all connections are reset. */
	crash() {
		this.server.close();
		for (const socket of this.sockets) {
			socket.resetAndDestroy();
		}
	}

	stop() {
		this.server?.close();
		this.server?.closeAllConnections();
	}

	#receive(request, response) {
		const {url, headers} = request;
		if (url.startsWith('/v1/kv-events') || url === '/v1/kv-list') {
			const timer = setTimeout(() => {
				response.writeHead(200, {'content-type': 'application/json'});
				response.end(JSON.stringify({
					epoch: this.born, next: 0, lost: false, events: [], held: [],
				}));
			}, Number(headers['wait-ms'] ?? 0));
			response.once('close', () => {
				clearTimeout(timer);
			});
			return;
		}

		const chunks = [];
		request.on('data', chunk => {
			chunks.push(chunk);
		});
		request.on('error', () => undefined);
		request.on('end', () => {
			if (headers['x-expect-instance'] !== undefined && headers['x-expect-instance'] !== this.id) {
				response.writeHead(421, {'x-request-id': headers['x-request-id'] ?? '', 'x-instance-id': this.id});
				response.end();
				return;
			}

			request.body = Buffer.concat(chunks);
			this.answer(response, request, this);
		});
	}
}

/* A whole answer. */
export const answerWhole = (response, request, replica, body = 'done') => {
	response.writeHead(200, {'x-request-id': request.headers['x-request-id'] ?? '', 'x-response-signature': `sound.${replica.id}`, 'content-length': Buffer.byteLength(body)});
	response.end(body);
};

export const engineFields = {phase: 'decode', models: [{name: 'm', version: 1, adapters: []}]};

export const engineService = (name, slots = 64) => ({
	name, healthPath: '/healthz', maxConnections: 370, protocol: 'h1', tls: false, engine: {
		slots, kvCapacityTokens: 435_004, kvBytes: 35_136, linkMbps: 270_000, moves: true, backups: true, stride: 7, most: 12, handleTtlS: 5, roleSwitchS: 3, pinMs: 4000, holdMs: 2000, models: [{name: 'm'}],
	},
});

export const plainService = name => ({
	name, healthPath: '/healthz', maxConnections: 110, protocol: 'h1', tls: false,
});
