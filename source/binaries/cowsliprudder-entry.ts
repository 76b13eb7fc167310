#!/usr/bin/env node
/**
Entry point of the entry gateway, the gateway process that runs on the platform.
*/
import {runEntry} from '../../platform/run-entry.js';

await runEntry();
